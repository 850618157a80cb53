#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "proxy_internal.h"

/* Sets an error. text must be static and need no escaping in JSON. */
void
fr_answer_error(struct fr_proxy_answer *answer, int status, enum rt_ran ran,
    uint32_t retry_after_ms, const char *text)
{
	free(answer->body);
	answer->body = NULL;
	answer->body_bytes = 0;
	answer->status = status;
	answer->ran = ran;
	answer->retry_after_ms = retry_after_ms;
	answer->is_error = true;
	answer->text = text;
}

/* Sets the error for a request that the router refused; it did not run. */
void
fr_answer_refusal(
    struct fr_proxy_answer *answer, int code, const struct rt_refusal *refusal)
{
	int status = code == RT_ERATE || code == RT_ECONCURRENCY ? 429 : 503;

	fr_answer_error(answer, status, RT_RAN_NOT, refusal->retry_after_ms,
	    rt_status_name(code));
}

/* Sets a stored answer; takes ownership of its body. */
void
fr_answer_stored(struct fr_proxy_answer *answer, const struct rt_answer *stored)
{
	answer->status = stored->http_status;
	answer->ran = stored->ran;
	answer->repeated = true;
	answer->body = stored->body;
	answer->body_bytes = stored->body_bytes;
	memcpy(answer->content_type, stored->content_type,
	    sizeof(answer->content_type));
	rt_id_format(stored->owner, stored->request, answer->id);
}

/* Finds a stored answer on this VM or on the VM that owns the request. Returns
 * CW_OK, RT_ENOTFOUND or RT_EPEER. */
int
fr_answer_find(struct fr_proxy *proxy, uint64_t owner, uint64_t number,
    struct rt_answer *out)
{
	const struct rt_answer_source *peer = &proxy->config.peer;

	memset(out, 0, sizeof(*out));
	if (owner == proxy->config.self)
		return rt_answer_get(proxy->config.route, number, out);
	if (peer->fetch == NULL)
		return RT_EPEER;
	return peer->fetch(peer->ctx, owner, number, out);
}
