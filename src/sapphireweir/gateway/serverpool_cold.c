#include "gateway/serverpool_internal.h"
#include "gateway/slow_start_gate.h"

/* Lent connections of a server that is cold: commands of borrowers wait until
 * the owner's share allows them.  Those of a transaction that runs already
 * keep their connection meanwhile and go before new work. */

/* Returns how many requests the server gets when a job is run: those that set
 * up the session's state, and the job's other commands. */
uint32_t
pooled_cost(PooledConnection *c, const PooledJob *j)
{
    const CommandBatch *needed = pooled_job_needed(j);
    size_t all = j->run->n_commands + j->run->n_after_begin;

    return server_session_count(&c->server_session, needed,
                                j->run->continues) +
           (uint32_t)(all - needed->count);
}

/* Tells whether the server's limit allows a job's commands now. */
gboolean
pooled_may_send(PooledConnection *c, const PooledJob *j, uint64_t now_us)
{
    return slow_start_gate_wait_us(c->pool->server, now_us, TRUE,
                                   pooled_cost(c, j)) == 0;
}

/* Holds the commands of a transaction that has a connection.  A borrower that
 * sends further commands while some are held replaces these. */
void
pooled_hold(PooledJob *j)
{
    if (j->held) {
        return;
    }
    j->held = TRUE;
    j->pool->gateway->counters.cold_waits++;
    g_queue_push_tail(&j->pool->held, j);
}

/* Removes a job from the held ones, if it is one of them. */
void
pooled_unhold(PooledJob *j)
{
    if (j->held) {
        j->held = FALSE;
        g_queue_remove(&j->pool->held, j);
    }
}

/* Sends held commands as far as the limit allows.  Returns whether new work
 * may start. */
gboolean
pooled_run_held(ServerPool *pool, uint64_t now_us)
{
    while (pool->held.length > 0) {
        PooledJob *j = pool->held.head->data;
        if (!pooled_may_send(j->connection, j, now_us)) {
            return FALSE;
        }
        pooled_run(j->connection, j, now_us);
    }
    return slow_start_gate_wait_us(pool->server, now_us, TRUE, 1) == 0;
}

/* Rejects held commands that cannot be sent in time; none of them has run, and
 * their transactions are rolled back. */
void
pooled_held_tick(ServerPool *pool, uint64_t now_us)
{
    GList *next;

    for (GList *l = pool->held.head; l != NULL; l = next) {
        PooledJob *j = l->data;
        PooledConnection *c = j->connection;
        next = l->next;
        if (now_us >= j->deadline_us) {
            pooled_job_reject(j, now_us);
            pooled_end_loan(c, now_us);
        }
    }
}
