#include "client.h"

#include <curl/curl.h>
#include <sodium.h>
#include <string.h>
#include <unistd.h>

enum {
    kTimeoutMs = 8000, /* for a whole request to one entry instance */
    kConnectTimeoutMs = 1500,
    kMaxRounds = 3,         /* attempts at each entry instance */
    kRoundDelayUs = 300000, /* between two rounds */
    kOperationIdBytes = 12, /* random, written as hexadecimal digits */
};

/* Write callback of curl: appends the data to a GString. */
static size_t
append_data(char *data, size_t size, size_t count, void *ctx)
{
    g_string_append_len(ctx, data, (gssize)(size * count));
    return size * count;
}

/* Returns the request headers; the caller frees the list.  The empty Expect
 * header keeps curl from waiting for "100 Continue" before it sends a large
 * body. */
static struct curl_slist *
make_headers(const Client *c, const char *operation_id)
{
    char *authorization =
        g_strconcat("Authorization: Bearer ", c->token, NULL);
    struct curl_slist *list = curl_slist_append(NULL, authorization);

    list = curl_slist_append(list, "Content-Type: application/json");
    list = curl_slist_append(list, "Expect:");
    if (operation_id != NULL) {
        char *header = g_strconcat("Operation-Id: ", operation_id, NULL);
        list = curl_slist_append(list, header);
        g_free(header);
    }
    g_free(authorization);
    return list;
}

/* Sends a request to one entry instance: POST if body is set, else GET.
 * Returns the text of the response, which the caller frees; status is set to
 * the HTTP status, or to zero if there was no response. */
static char *
exchange_text(const Client *c, const char *entry, const char *path,
              const char *body, const char *operation_id, long *status)
{
    CURL *curl = curl_easy_init();
    GString *response = g_string_new(NULL);
    char *url = g_strconcat(entry, path, NULL);
    struct curl_slist *headers = make_headers(c, operation_id);

    *status = 0;
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_data);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, response);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)kTimeoutMs);
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, (long)kConnectTimeoutMs);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    if (c->ca_file != NULL) {
        curl_easy_setopt(curl, CURLOPT_CAINFO, c->ca_file);
    }
    if (body != NULL) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
    }
    if (curl_easy_perform(curl) == CURLE_OK) {
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, status);
    }
    curl_slist_free_all(headers);
    curl_easy_cleanup(curl);
    g_free(url);
    return g_string_free(response, FALSE);
}

/* Same as exchange_text, with the response parsed as JSON.  The caller owns
 * the reply's body. */
static Reply
exchange(const Client *c, const char *entry, const char *path,
         const char *body, const char *operation_id)
{
    long status;
    char *text = exchange_text(c, entry, path, body, operation_id, &status);
    Reply reply = {(uint32_t)status, json_loads(text, 0, NULL)};
    g_free(text);
    return reply;
}

/* Returns whether a retry, at another entry instance or later, may succeed. */
static gboolean
is_retriable(const Reply *r)
{
    return r->status == 0 || r->status == 503 || r->status == 504;
}

/* Sends a request to the entry instances in turn, in up to kMaxRounds rounds,
 * until one gives a final response.  Returns the last response otherwise. */
static Reply
exchange_any(const Client *c, const char *path, const char *body,
             const char *operation_id)
{
    Reply reply = {0, NULL};
    for (int round = 0; round < kMaxRounds; round++) {
        for (char **entry = c->entries; *entry != NULL; entry++) {
            json_decref(reply.body);
            reply = exchange(c, *entry, path, body, operation_id);
            if (!is_retriable(&reply)) {
                return reply;
            }
        }
        usleep(kRoundDelayUs);
    }
    return reply;
}

/* Sends a GET request to any entry instance.  The caller owns the reply's
 * body. */
Reply
client_get(const Client *c, const char *path)
{
    return exchange_any(c, path, NULL, NULL);
}

/* Returns the response text of a GET request to one given entry instance, or
 * NULL if it does not respond.  The caller frees the text. */
char *
client_get_text(const Client *c, const char *entry, const char *path)
{
    long status;
    char *text = exchange_text(c, entry, path, NULL, NULL, &status);
    if (status != 0) {
        return text;
    }
    g_free(text);
    return NULL;
}

/* Sends a change to any entry instance.  Retries use the same operation id, so
 * that the change takes effect at most once.  The caller owns the reply's
 * body. */
Reply
client_post(const Client *c, const char *path, const json_t *body,
            const char *operation_id)
{
    char *text = json_dumps(body, JSON_COMPACT);
    Reply reply = exchange_any(c, path, text, operation_id);
    free(text);
    return reply;
}

/* Returns a new random operation id; the caller frees it. */
char *
client_new_operation_id(void)
{
    uint8_t random[kOperationIdBytes];
    char hex[kOperationIdBytes * 2 + 1];
    randombytes_buf(random, sizeof(random));
    sodium_bin2hex(hex, sizeof(hex), random, sizeof(random));
    return g_strdup(hex);
}
