/*
 * Keeps the voters, as last known, in a file beside the log: after a restart a
 * voter must know its number, and the addresses of the others, before it sends
 * anything.
 */
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <glib/gstdio.h>

#include "fleet/fleet_control_private.h"

#define FILE_NAME  "voters"
#define FILE_NEW   "voters.new"
#define LOG_PREFIX "log-"
/* Time between attempts to store the voters on a full disk. */
#define RETRY_INTERVAL_US 1000000U

static char *data_path(const struct fleet *, const char *name);
static bool write_file(const char *path, const GByteArray *);
static bool sync_folder(const char *path);
static void remove_folder(const char *path);
static Parsleyspur__CatalogVoter *pack_assignee(size_t, struct fleet_assignee);
static GByteArray *pack_file(const struct fleet *);

/* Return the path of NAME in the data folder.  The caller frees it. */
static char *
data_path(const struct fleet *fleet, const char *name)
{
    return g_build_filename(fleet->options->data_dir, name, NULL);
}

/* Return ASSIGNEE of the voter INDEX as a message.  The caller owns it. */
static Parsleyspur__CatalogVoter *
pack_assignee(size_t index, struct fleet_assignee assignee)
{
    struct catalog_voter voter = {.address = assignee.address,
                                  .revision = assignee.revision};

    return catalog_wire_new_voter(index, &voter);
}

/* Add the assignees of all voter numbers to MESSAGE, which then owns them. */
void
fleet_voter_file_pack_voters(const struct fleet_control *control,
                             Parsleyspur__FleetHeartbeat *message)
{
    message->voters = g_new0(Parsleyspur__CatalogVoter *, CATALOG_VOTERS_MAX);
    message->voting = g_new0(Parsleyspur__CatalogVoter *, CATALOG_VOTERS_MAX);
    for (size_t i = 0; i < control->voter_count; i++) {
        const struct fleet_assignment *assignment = &control->voters[i];

        message->voters[message->n_voters++] =
            pack_assignee(i, assignment->assigned);
        message->voting[message->n_voting++] =
            pack_assignee(i, assignment->voting);
    }
}

/* Return the content of the voter file.  The caller frees it. */
static GByteArray *
pack_file(const struct fleet *fleet)
{
    const struct fleet_control *control = fleet->control;
    Parsleyspur__FleetHeartbeat *file = g_malloc0(sizeof(*file));
    GByteArray *bytes = g_byte_array_new();

    parsleyspur__fleet_heartbeat__init(file);
    file->voter = (uint32_t)control->voter;
    file->voter_count = (uint32_t)control->voter_count;
    file->members_known = control->fleet_formed;
    file->revision = control->log_number;
    file->tenure = control->assigned_revision;
    fleet_voter_file_pack_voters(control, file);
    catalog_wire_append(&file->base, bytes);
    parsleyspur__fleet_heartbeat__free_unpacked(file, NULL);
    return bytes;
}

/* Write BYTES to the file PATH and sync it.  Return false on failure. */
static bool
write_file(const char *path, const GByteArray *bytes)
{
    int fd = open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    bool ok;

    if (fd < 0) {
        return false;
    }
    ok = write(fd, bytes->data, bytes->len) == (ssize_t)bytes->len &&
         fsync(fd) == 0;
    return close(fd) == 0 && ok;
}

/*
 * Sync the folder PATH, so that a rename in it is durable.  Return false on
 * failure.
 */
static bool
sync_folder(const char *path)
{
    int fd = open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    bool ok;

    if (fd < 0) {
        return false;
    }
    ok = fsync(fd) == 0;
    return close(fd) == 0 && ok;
}

/*
 * Store the voters.  A failure is logged; fleet_voter_file_tick() tries again,
 * and until then the daemon opens no log: after a restart it would not know
 * which voter the log is of.
 */
void
fleet_voter_file_write(struct fleet *fleet)
{
    GByteArray *bytes = pack_file(fleet);
    char *new_path = data_path(fleet, FILE_NEW);
    char *path = data_path(fleet, FILE_NAME);

    fleet->control->voters_stored = write_file(new_path, bytes) &&
                                    rename(new_path, path) == 0 &&
                                    sync_folder(fleet->options->data_dir);
    if (!fleet->control->voters_stored) {
        fleet_log_line(
            fleet->log, FLEET_LOG_STATE, clock_boottime_us(),
            "voters-not-stored",
            "\"error\":\"%s\",\"remedy\":\"check that the daemon can "
            "write to the data folder's disk\"",
            g_strerror(errno));
    }
    g_byte_array_unref(bytes);
    g_free(new_path);
    g_free(path);
}

/* Store the voters if that failed before; at most every RETRY_INTERVAL_US. */
void
fleet_voter_file_tick(struct fleet *fleet, uint64_t now_us)
{
    struct fleet_control *control = fleet->control;

    if (control->voters_stored || now_us < control->next_voters_retry_us) {
        return;
    }
    control->next_voters_retry_us = now_us + RETRY_INTERVAL_US;
    fleet_voter_file_write(fleet);
}

/* Read the voters from the file.  Return false if it is missing or damaged. */
bool
fleet_voter_file_read(struct fleet *fleet)
{
    struct fleet_control *control = fleet->control;
    char *path = data_path(fleet, FILE_NAME);
    Parsleyspur__FleetHeartbeat *file = NULL;
    gchar *data = NULL;
    gsize len = 0;
    bool ok;

    if (g_file_get_contents(path, &data, &len, NULL)) {
        file = parsleyspur__fleet_heartbeat__unpack(NULL, len,
                                                    (const uint8_t *)data);
    }
    ok = file != NULL && file->voter_count > 0 &&
         file->voter_count <= CATALOG_VOTERS_MAX &&
         file->voter <= file->voter_count &&
         file->n_voters == file->voter_count &&
         (file->n_voting == 0 || file->n_voting == file->voter_count);
    if (ok) {
        control->voter = file->voter;
        control->voter_count = file->voter_count;
        control->fleet_formed = file->members_known;
        control->log_number = (uint32_t)file->revision;
        control->assigned_revision = file->tenure;
        for (size_t i = 0; i < file->n_voters; i++) {
            struct fleet_assignee assigned = {file->voters[i]->address,
                                              file->voters[i]->revision};
            /* An earlier release stored one assignee for each number. */
            const Parsleyspur__CatalogVoter *voting =
                file->n_voting == 0 ? file->voters[i] : file->voting[i];
            struct fleet_assignee voting_assignee = {voting->address,
                                                     voting->revision};

            fleet_assignment_set_assigned(&control->voters[i], assigned);
            fleet_assignment_set_voting(&control->voters[i], voting_assignee);
        }
    }
    if (file != NULL) {
        parsleyspur__fleet_heartbeat__free_unpacked(file, NULL);
    }
    g_free(data);
    g_free(path);
    return ok;
}

/*
 * Return the path of the folder of this daemon's log.  The caller frees it.
 * Each time that the daemon becomes a voter its log gets a new folder, so that
 * the content of an earlier log is never taken for that of a later one.
 */
char *
fleet_voter_file_log_folder(const struct fleet *fleet)
{
    char *name = g_strdup_printf(LOG_PREFIX "%u", fleet->control->log_number);
    char *path = data_path(fleet, name);

    g_free(name);
    return path;
}

/* Remove the folder PATH and the files in it; failures are ignored. */
static void
remove_folder(const char *path)
{
    GDir *folder = g_dir_open(path, 0, NULL);
    const char *name;

    while (folder != NULL && (name = g_dir_read_name(folder)) != NULL) {
        char *file = g_build_filename(path, name, NULL);

        g_unlink(file);
        g_free(file);
    }
    if (folder != NULL) {
        g_dir_close(folder);
    }
    g_rmdir(path);
}

/* Remove the logs of earlier times as a voter. */
void
fleet_voter_file_remove_logs(struct fleet *fleet)
{
    GDir *folder = g_dir_open(fleet->options->data_dir, 0, NULL);
    char *own = fleet_voter_file_log_folder(fleet);
    const char *name;

    while (folder != NULL && (name = g_dir_read_name(folder)) != NULL) {
        char *path = data_path(fleet, name);

        if (g_str_has_prefix(name, LOG_PREFIX) &&
            (fleet->control->voter == 0 || strcmp(path, own) != 0)) {
            remove_folder(path);
        }
        g_free(path);
    }
    if (folder != NULL) {
        g_dir_close(folder);
    }
    g_free(own);
}
