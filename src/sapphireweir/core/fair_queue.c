#include "core/fair_queue.h"

#include <string.h>

/* Deficit round robin over teams (Shreedhar and Varghese 1995).  The cost
 * of an item is its expected service time, so a team is charged for the time
 * that its items occupy the server, not for their number.  Items of one team
 * are served by descending priority, and in order of arrival within a
 * priority. */

/* Service time that a team of weight 1 is granted per turn. */
enum { kQuantumUs = 1000 };

/* A queued item. */
typedef struct {
    void *item;
    uint64_t cost_us;
    uint32_t priority;
} QueueEntry;

/* The queue of one team. */
typedef struct {
    char *team;
    uint32_t weight;
    uint64_t deficit_us;  /* granted service time not used yet */
    uint64_t queued_us;   /* total cost of the entries */
    GQueue entries;       /* of QueueEntry, owned */
    gboolean quantum_due; /* the next turn adds a quantum to deficit_us */
} TeamQueue;

struct FairQueue {
    GHashTable *teams;   /* team -> TeamQueue, owned */
    GQueue active;       /* non-empty TeamQueues, in order of their turns */
    uint32_t team_limit; /* maximum number of entries per team */
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

/* Creates a queue that holds at most team_limit items per team.  The caller
 * frees it with fair_queue_free. */
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

/* Frees the queue, but not the items, which the caller owns. */
void
fair_queue_free(FairQueue *q)
{
    g_queue_clear(&q->active);
    g_hash_table_destroy(q->teams);
    g_free(q);
}

/* Returns the queue of a team, creating it if necessary. */
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

/* Inserts an entry after all entries of the same or a higher priority. */
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

/* Queues an item of a team.  cost_us is its expected service time.  Returns
 * FALSE, without queueing the item, if the team has team_limit items
 * queued. */
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

/* Ends a team's turn: moves the team to the end of the order, or frees its
 * queue if it is empty. */
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

/* Removes and returns the next item in fair order; NULL if the queue is
 * empty. */
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
        /* The only active team needn't wait for further quanta. */
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

/* Removes an item from a team's queue; returns FALSE if it isn't there. */
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

/* Removes a given item; returns FALSE if it isn't queued. */
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

/* Returns the first queued item for which matches returns TRUE, or NULL.
 * The item stays queued. */
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

/* Returns the cost of the entries that go before a new one of a priority. */
static uint64_t
team_queue_cost_before_us(const TeamQueue *t, uint32_t priority)
{
    uint64_t cost_us = t->queued_us;
    for (const GList *l = t->entries.tail; l != NULL; l = l->prev) {
        const QueueEntry *e = l->data;
        if (e->priority >= priority) {
            break;
        }
        cost_us -= e->cost_us;
    }
    return cost_us;
}

/* Returns the estimated service time in microseconds that is granted before a
 * new item of the team starts: the costs of the team's own queued items of the
 * same or a higher priority, and of each other team as much as its weight
 * entitles it to meanwhile.  Items of a lower priority are left out since the
 * new item goes before them; with them, urgent requests were refused for the
 * time that less urgent ones of their team would wait. */
uint64_t
fair_queue_wait_us(const FairQueue *q, const char *team, uint32_t weight,
                   uint32_t priority)
{
    TeamQueue *own = g_hash_table_lookup(q->teams, team);
    uint64_t own_us =
        own == NULL ? 0 : team_queue_cost_before_us(own, priority);
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
