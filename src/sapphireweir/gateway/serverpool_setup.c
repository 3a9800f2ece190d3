#include "gateway/serverpool_internal.h"
#include "gateway/slow_start_gate.h"

/* Jobs whose session state has been set up on a connection before the server
 * has room for their statement.  A server answers the commands that set it up
 * only after the statements that it got before, so that setting it up behind
 * the queue would add such a wait to most jobs.  At most as many jobs are
 * ahead as the server has slots; they go before those that wait in the
 * queue. */

/* Tells whether the state of another session may be set up.  At a cold server
 * the limit counts a job's commands together, so that none is ahead. */
gboolean
serverpool_may_set_up(const ServerPool *pool, uint64_t now_us)
{
    if (slow_start_gate_is_limited(pool->server, now_us)) {
        return serverpool_has_room(pool);
    }
    return pool->setups + pool->ready.length < MAX(pool->server->slots, 1);
}

/* Keeps a job whose state is set up until the server has room. */
void
pooled_ready(PooledJob *j)
{
    j->ready = TRUE;
    g_queue_push_tail(&j->pool->ready, j);
}

/* Removes a job from those that are set up, if it is one of them. */
void
pooled_unready(PooledJob *j)
{
    if (j->ready) {
        j->ready = FALSE;
        g_queue_remove(&j->pool->ready, j);
    }
}

/* Sends the statements of jobs that are set up as far as the server has
 * room. */
void
pooled_ready_pump(ServerPool *pool, uint64_t now_us)
{
    while (pool->ready.length > 0 && serverpool_has_room(pool)) {
        PooledJob *j = pool->ready.head->data;
        pooled_unready(j);
        pooled_send_rest(j->connection, j, now_us);
    }
}

/* Rejects jobs that are set up and must not wait any longer.  None of their
 * statements has run. */
void
pooled_ready_tick(ServerPool *pool, uint64_t now_us)
{
    GList *next;

    for (GList *l = pool->ready.head; l != NULL; l = next) {
        PooledJob *j = l->data;
        PooledConnection *c = j->connection;
        next = l->next;
        if (!pooled_may_wait(j, now_us)) {
            pooled_job_reject(j, now_us);
            pooled_end_loan(c, now_us);
        }
    }
}
