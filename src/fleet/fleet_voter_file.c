/*
 * Which daemons are the voters, as last known, kept beside the log: after a
 * restart a voter must know its number, and where the others are, before it
 * says anything.
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

static char *path_of(const struct fleet *, const char *name);
static bool write_file(const char *path, const GByteArray *);
static bool sync_folder(const char *path);
static void remove_folder(const char *path);
static Parsleyspur__CatalogVoter *pack_holder(size_t, struct fleet_holder);
static GByteArray *pack(const struct fleet *);

/* NAME within the data folder; the caller frees it. */
static char *
path_of(const struct fleet *fleet, const char *name)
{
    return g_build_filename(fleet->options->data_dir, name, NULL);
}

static Parsleyspur__CatalogVoter *
pack_holder(size_t index, struct fleet_holder holder)
{
    struct catalog_voter voter = {.address = holder.address,
                                  .revision = holder.revision};

    return catalog_wire_new_voter(index, &voter);
}

/* Write the holders of all voters' numbers into MESSAGE, which owns them. */
void
fleet_voter_pack(const struct fleet_control *control,
                 Parsleyspur__FleetHeartbeat *message)
{
    message->voters = g_new0(Parsleyspur__CatalogVoter *, CATALOG_VOTERS_MAX);
    message->voting = g_new0(Parsleyspur__CatalogVoter *, CATALOG_VOTERS_MAX);
    for (size_t i = 0; i < control->voter_count; i++) {
        const struct fleet_tenure *tenure = &control->voters[i];

        message->voters[message->n_voters++] = pack_holder(i, tenure->current);
        message->voting[message->n_voting++] = pack_holder(i, tenure->voting);
    }
}

static GByteArray *
pack(const struct fleet *fleet)
{
    const struct fleet_control *control = fleet->control;
    Parsleyspur__FleetHeartbeat *file = g_malloc0(sizeof(*file));
    GByteArray *bytes = g_byte_array_new();

    parsleyspur__fleet_heartbeat__init(file);
    file->voter = (uint32_t)control->voter;
    file->voter_count = (uint32_t)control->voter_count;
    file->members_known = control->formed;
    file->revision = control->log_number;
    file->tenure = control->tenure;
    fleet_voter_pack(control, file);
    catalog_wire_append(&file->base, bytes);
    parsleyspur__fleet_heartbeat__free_unpacked(file, NULL);
    return bytes;
}

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
 * Store the voters.  A failure is told and not waited for: the file before it
 * still names voters that others correct, and the log's own files refuse the
 * daemon a vote if they are lost.
 */
void
fleet_voter_file_write(struct fleet *fleet)
{
    GByteArray *bytes = pack(fleet);
    char *new_path = path_of(fleet, FILE_NEW);
    char *path = path_of(fleet, FILE_NAME);

    if (!write_file(new_path, bytes) || rename(new_path, path) != 0 ||
        !sync_folder(fleet->options->data_dir)) {
        fleet_log_line(fleet->log, FLEET_LOG_STATE, clock_boottime_us(),
                       "voters-not-stored",
                       "\"error\":\"%s\",\"remedy\":\"see to the data "
                       "folder's disk\"",
                       g_strerror(errno));
    }
    g_byte_array_unref(bytes);
    g_free(new_path);
    g_free(path);
}

/* Take the voters from the file; false if there is none, or a damaged one. */
bool
fleet_voter_file_read(struct fleet *fleet)
{
    struct fleet_control *control = fleet->control;
    char *path = path_of(fleet, FILE_NAME);
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
        control->formed = file->members_known;
        control->log_number = (uint32_t)file->revision;
        control->tenure = file->tenure;
        for (size_t i = 0; i < file->n_voters; i++) {
            struct fleet_holder named = {file->voters[i]->address,
                                         file->voters[i]->revision};
            /* An earlier release knew of one holder only. */
            const Parsleyspur__CatalogVoter *voting =
                file->n_voting == 0 ? file->voters[i] : file->voting[i];
            struct fleet_holder votes = {voting->address, voting->revision};

            fleet_tenure_name(&control->voters[i], named);
            fleet_tenure_votes(&control->voters[i], votes);
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
 * The folder of the log for the time that this daemon is a voter; the caller
 * frees it.  Each time has its own, so that what an earlier log holds is never
 * taken for the next one's.
 */
char *
fleet_voter_log_folder(const struct fleet *fleet)
{
    char *name = g_strdup_printf(LOG_PREFIX "%u", fleet->control->log_number);
    char *path = path_of(fleet, name);

    g_free(name);
    return path;
}

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
fleet_voter_remove_logs(struct fleet *fleet)
{
    GDir *folder = g_dir_open(fleet->options->data_dir, 0, NULL);
    char *own = fleet_voter_log_folder(fleet);
    const char *name;

    while (folder != NULL && (name = g_dir_read_name(folder)) != NULL) {
        char *path = path_of(fleet, name);

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
