/* A thread that writes records, and the queues to it and back. */
#include "daemon/store.h"

#include "base/log.h"

/* One submission on its way to the thread and back. */
struct store_job {
    uint64_t token;
    struct quorum_record *records; /* each holds a reference */
    size_t count;
    bool stop;
    bool check; /* nothing to write: look at the free space */
    bool ok;
    bool space_low;
    char *fault; /* why it could not be written, or NULL */
};

struct store {
    uv_thread_t thread;
    uv_async_t wake;
    GAsyncQueue *jobs;
    GAsyncQueue *done;
    struct storage *storage;
    struct store_handler handler;
    bool space_low;
    bool failed;
};

static void run(void *);
static void write_jobs(struct store *, GPtrArray *);
static void on_wake(uv_async_t *);
static void on_closed(uv_handle_t *);
static void job_free(struct store_job *);
static void record_ref(struct quorum_record *);

/*
 * Open the files in FOLDER, fill STORED with what they hold, and start the
 * thread.  NULL with an error that names the remedy.
 */
struct store *
store_new(uv_loop_t *loop, const char *folder, struct store_handler handler,
          struct quorum_stored *stored, struct storage_report *report,
          GError **error)
{
    struct storage_options options = {.folder = folder};
    struct storage *storage = storage_open(&options, stored, report, error);
    struct store *store;

    if (storage == NULL) {
        return NULL;
    }
    store = g_new0(struct store, 1);
    store->storage = storage;
    store->handler = handler;
    store->jobs = g_async_queue_new();
    store->done = g_async_queue_new();
    uv_async_init(loop, &store->wake, on_wake);
    store->wake.data = store;
    uv_thread_create(&store->thread, run, store);
    return store;
}

static void
record_ref(struct quorum_record *record)
{
    switch (record->kind) {
    case QUORUM_RECORD_ENTRY:
        quorum_entry_ref(record->u.entry);
        break;
    case QUORUM_RECORD_SNAPSHOT:
        quorum_snapshot_ref(record->u.snapshot);
        break;
    case QUORUM_RECORD_HARD_STATE:
    case QUORUM_RECORD__MAX:
        break;
    }
}

static void
job_free(struct store_job *job)
{
    for (size_t i = 0; i < job->count; i++) {
        quorum_record_clear(&job->records[i]);
    }
    g_free(job->records);
    g_free(job->fault);
    g_free(job);
}

/* Have COUNT records written and synced; they are shared, not taken. */
void
store_submit(struct store *store, uint64_t token,
             const struct quorum_record *records, size_t count)
{
    struct store_job *job = g_new0(struct store_job, 1);

    job->token = token;
    job->count = count;
    job->records = g_memdup2(records, count * sizeof(*records));
    for (size_t i = 0; i < count; i++) {
        record_ref(&job->records[i]);
    }
    g_async_queue_push(store->jobs, job);
}

/* Write all jobs at hand with one sync, and send them back. */
static void
write_jobs(struct store *store, GPtrArray *jobs)
{
    GArray *records = g_array_new(FALSE, FALSE, sizeof(struct quorum_record));
    GError *error = NULL;
    bool ok, low;

    for (guint i = 0; i < jobs->len; i++) {
        struct store_job *job = g_ptr_array_index(jobs, i);

        if (job->count > 0) {
            g_array_append_vals(records, job->records, (guint)job->count);
        }
    }
    ok = records->len == 0 ||
         storage_write(store->storage,
                       (const struct quorum_record *)(void *)records->data,
                       records->len, &error);
    low = storage_space_low(store->storage);
    for (guint i = 0; i < jobs->len; i++) {
        struct store_job *job = g_ptr_array_index(jobs, i);

        job->ok = ok;
        job->space_low = low;
        job->fault = error == NULL ? NULL : g_strdup(error->message);
        g_async_queue_push(store->done, job);
    }
    g_clear_error(&error);
    g_array_free(records, TRUE);
    uv_async_send(&store->wake);
}

/* The thread: take all jobs that wait, write them, until told to stop. */
static void
run(void *data)
{
    struct store *store = data;
    bool stop = false;

    while (!stop) {
        GPtrArray *jobs = g_ptr_array_new();
        struct store_job *job = g_async_queue_pop(store->jobs);

        while (job != NULL) {
            stop = stop || job->stop;
            g_ptr_array_add(jobs, job);
            job = g_async_queue_try_pop(store->jobs);
        }
        write_jobs(store, jobs);
        g_ptr_array_unref(jobs);
    }
}

/* Back on the loop: report what has been written. */
static void
on_wake(uv_async_t *async)
{
    struct store *store = async->data;
    struct store_job *job;

    while ((job = g_async_queue_try_pop(store->done)) != NULL) {
        if (job->space_low != store->space_low) {
            store->space_low = job->space_low;
            store->handler.space(store->handler.user, job->space_low);
        }
        if (!job->ok && !store->failed) {
            log_state(G_LOG_LEVEL_WARNING, "cannot write the log", "error",
                      job->fault, NULL);
        }
        store->failed = !job->ok;
        if (!job->stop && !job->check) {
            store->handler.stored(store->handler.user, job->token, job->ok);
        }
        job_free(job);
    }
}

/* Look at the free space, so that edits are taken again once there is some. */
void
store_check_space(struct store *store)
{
    struct store_job *job = g_new0(struct store_job, 1);

    job->check = true;
    g_async_queue_push(store->jobs, job);
}

void
store_close(struct store *store)
{
    struct store_job *job = g_new0(struct store_job, 1);

    job->stop = true;
    g_async_queue_push(store->jobs, job);
    uv_thread_join(&store->thread);
    storage_close(store->storage);
    uv_close((uv_handle_t *)&store->wake, on_closed);
}

static void
on_closed(uv_handle_t *handle)
{
    struct store *store = handle->data;
    struct store_job *job;

    while ((job = g_async_queue_try_pop(store->done)) != NULL) {
        job_free(job);
    }
    g_async_queue_unref(store->jobs);
    g_async_queue_unref(store->done);
    g_free(store);
}
