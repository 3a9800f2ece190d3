#include "core/fair_queue.h"

#include <string.h>

/* Deficit round robin over teams (Shreedhar and Varghese 1995).  The cost
 * of an item is its expected service time, so a team pays for the time its
 * statements hold a slot, not for their number.  Within a team a higher
 * priority goes first, equal ones in order of arrival. */

enum { kQuantumUs = 1000 };

typedef struct {
    void *item;
    uint64_t cost_us;
    uint32_t priority;
} QueueEntry;

typedef struct {
    char *team;
    uint32_t weight;
    uint64_t deficit_us;
    uint64_t queued_us;
    GQueue entries;       /* of QueueEntry, owned */
    gboolean quantum_due; /* gets its quantum when its turn comes */
} TeamQueue;

struct FairQueue {
    GHashTable *teams; /* team -> TeamQueue, owned */
    GQueue active;     /* TeamQueue with entries, in turn order */
    uint32_t team_limit;
    uint32_t length;
};

static void
team_queue_free(void *data)
{
    TeamQueue *t = data;
    g_queue_clear_full(&t->entries, g_free);
    g_free(t->team);
    g_free(t);
}

/* Makes a queue that holds at most team_limit items a team. */
FairQueue *
fair_queue_new(uint32_t team_limit)
{
    FairQueue *q = g_new0(FairQueue, 1);
    q->teams =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, team_queue_free);
    g_queue_init(&q->active);
    q->team_limit = team_limit;
    return q;
}

/* Frees the queue; the items stay the caller's. */
void
fair_queue_free(FairQueue *q)
{
    g_queue_clear(&q->active);
    g_hash_table_destroy(q->teams);
    g_free(q);
}

static TeamQueue *
team_queue_get(FairQueue *q, const char *team)
{
    TeamQueue *t = g_hash_table_lookup(q->teams, team);
    if (t == NULL) {
        t = g_new0(TeamQueue, 1);
        t->team = g_strdup(team);
        g_queue_init(&t->entries);
        g_hash_table_insert(q->teams, t->team, t);
    }
    return t;
}

static void
team_queue_insert(TeamQueue *t, QueueEntry *e)
{
    GList *at = t->entries.tail;
    while (at != NULL && ((QueueEntry *)at->data)->priority < e->priority) {
        at = at->prev;
    }
    if (at == NULL) {
        g_queue_push_head(&t->entries, e);
        return;
    }
    g_queue_insert_after(&t->entries, at, e);
}

/* Queues an item of a team.  Returns FALSE, and takes nothing, when the
 * team's share of the queue is full. */
gboolean
fair_queue_push(FairQueue *q, const char *team, uint32_t weight,
                uint32_t priority, uint64_t cost_us, void *item)
{
    TeamQueue *t = team_queue_get(q, team);
    if (t->entries.length >= q->team_limit) {
        return FALSE;
    }
    if (t->entries.length == 0) {
        t->deficit_us = 0;
        t->quantum_due = TRUE;
        g_queue_push_tail(&q->active, t);
    }
    t->weight = MAX(weight, 1);
    QueueEntry *e = g_new(QueueEntry, 1);
    *e = (QueueEntry){item, MAX(cost_us, 1), priority};
    team_queue_insert(t, e);
    t->queued_us += e->cost_us;
    q->length++;
    return TRUE;
}

/* Ends a team's turn: it goes to the back, or out when it has nothing. */
static void
team_queue_rotate(FairQueue *q, TeamQueue *t)
{
    g_queue_remove(&q->active, t);
    if (t->entries.length == 0) {
        g_hash_table_remove(q->teams, t->team);
        return;
    }
    t->quantum_due = TRUE;
    g_queue_push_tail(&q->active, t);
}

/* Takes the next item in fair order; NULL when the queue is empty. */
void *
fair_queue_pop(FairQueue *q)
{
    while (q->active.length > 0) {
        TeamQueue *t = g_queue_peek_head(&q->active);
        if (t->quantum_due) {
            t->deficit_us += (uint64_t)t->weight * kQuantumUs;
            t->quantum_due = FALSE;
        }
        QueueEntry *e = g_queue_peek_head(&t->entries);
        if (e->cost_us > t->deficit_us && q->active.length > 1) {
            team_queue_rotate(q, t);
            continue;
        }
        t->deficit_us -= MIN(e->cost_us, t->deficit_us);
        t->queued_us -= e->cost_us;
        q->length--;
        void *item = e->item;
        g_free(g_queue_pop_head(&t->entries));
        if (t->entries.length == 0) {
            team_queue_rotate(q, t);
        }
        return item;
    }
    return NULL;
}

static gboolean
team_queue_remove_item(TeamQueue *t, const void *item)
{
    for (GList *l = t->entries.head; l != NULL; l = l->next) {
        QueueEntry *e = l->data;
        if (e->item != item) {
            continue;
        }
        t->queued_us -= e->cost_us;
        g_free(e);
        g_queue_delete_link(&t->entries, l);
        return TRUE;
    }
    return FALSE;
}

/* Takes one given item out, wherever it waits; FALSE when it is not there. */
gboolean
fair_queue_remove(FairQueue *q, void *item)
{
    for (GList *l = q->active.head; l != NULL; l = l->next) {
        TeamQueue *t = l->data;
        if (!team_queue_remove_item(t, item)) {
            continue;
        }
        q->length--;
        if (t->entries.length == 0) {
            team_queue_rotate(q, t);
        }
        return TRUE;
    }
    return FALSE;
}

/* Returns the first queued item that matches, NULL when none does. */
void *
fair_queue_find(FairQueue *q,
                gboolean (*matches)(const void *item, const void *ctx),
                const void *ctx)
{
    for (GList *l = q->active.head; l != NULL; l = l->next) {
        TeamQueue *t = l->data;
        for (GList *k = t->entries.head; k != NULL; k = k->next) {
            QueueEntry *e = k->data;
            if (matches(e->item, ctx)) {
                return e->item;
            }
        }
    }
    return NULL;
}

/* Returns the number of queued items. */
uint32_t
fair_queue_length(const FairQueue *q)
{
    return q->length;
}

/* Returns the service time, in microseconds, that fair order puts before a
 * new item of the team: its own queue, and of each other team no more than
 * what that team's weight lets it take meanwhile. */
uint64_t
fair_queue_wait_us(const FairQueue *q, const char *team, uint32_t weight)
{
    TeamQueue *own = g_hash_table_lookup(q->teams, team);
    uint64_t own_us = own == NULL ? 0 : own->queued_us;
    uint64_t wait_us = own_us;

    weight = MAX(weight, 1);
    for (GList *l = q->active.head; l != NULL; l = l->next) {
        TeamQueue *t = l->data;
        if (t == own) {
            continue;
        }
        uint64_t share_us =
            (own_us + (uint64_t)weight * kQuantumUs) * t->weight / weight;
        wait_us += MIN(share_us, t->queued_us);
    }
    return wait_us;
}
