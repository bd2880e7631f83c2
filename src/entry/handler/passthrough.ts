import type { IncomingHttpHeaders } from 'node:http';
import type { Result } from 'ts-results';
import { result } from '../../base/index.js';
import { refuse } from '../../core/refusal/index.js';
import type { Header, Refusal } from '../../wire/index.js';
import type { Access } from '../access.js';
import type { EntryContext } from '../entrycontext.js';
import type { Caller } from './caller.js';
import { checkedHandler } from './checkedhandler.js';
import { deadlineOf } from './deadlineof.js';
import { findRoute } from './findroute.js';
import { HOP_HEADERS } from './hopheaders.js';
import { kindOf } from './kindof.js';
import type { serve } from './serve.js';

type CheckedRequest = Parameters<typeof serve>[2];

/** `/services/{service}/{path}`, with an optional query that is forwarded along with the path. */
const PATH = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;

/** Destination of a request to a plain service. */
interface Destination {
  readonly access: Access;
  readonly path: string;
  readonly query: string;
}

function forwardedHeaders(headers: IncomingHttpHeaders): Header[] {
  const hopByHop = new Set((headers.connection ?? '').toLowerCase().split(/\s*,\s*/));
  return Object.entries(headers)
    .filter(([name]) => !HOP_HEADERS.has(name) && !hopByHop.has(name))
    .flatMap(([name, value = '']) => [value].flat().map((single) => ({ name, value: single })));
}

function destinationOf(accesses: readonly Access[], url: string): Result<Destination, Refusal> {
  const [, service = '', path = '/', query = ''] = PATH.exec(url) ?? [];
  const access = accesses.find(({ document }) => document.service === service);
  if (access) return result.Ok({ access, path, query });
  return result.Err(refuse('service-unknown', `You have no service "${service}".`));
}

function check(
  context: EntryContext,
  { request }: Caller,
  { access, path, query }: Destination,
  body: Buffer,
): Result<CheckedRequest, Refusal> {
  const method = request.method ?? 'GET';
  const route = findRoute(access.document, method, path);
  if (!route) return result.Err(refuse('route-unknown', `No route takes ${method} ${path}.`));
  // Only the route decides whether a request may be repeated, so the caller cannot choose another kind.
  const kind = kindOf(access.document, {}, route.kind);
  if (kind.err) return kind;
  const deadlineMs = deadlineOf(request.headers, kind.val.deadlineMs);
  if (deadlineMs.err) return deadlineMs;
  const { service } = access.document;
  const head = {
    customer: access.customer.id,
    service,
    kind: kind.val.name,
    model: '',
    adapter: '',
    method,
    path: path + query,
    headers: forwardedHeaders(request.headers),
    body,
    deadlineMs: deadlineMs.val,
    repeatable: kind.val.repeatable,
    ticket: '',
    incarnation: 0,
    streaming: false,
    continuation: undefined,
    prefixHash: '',
    promptTokens: 0,
    maxTokens: 0,
  };
  const deadlineAtMs = context.clock.nowMs() + deadlineMs.val;
  return result.Ok({ access, target: { service, kind: kind.val }, head, deadlineAtMs });
}

/** Any method of `/services/{service}/{path}`: forwards the request to a plain service unchanged. */
export const passThrough = checkedHandler<Destination>({
  resolve: ({ request }, accesses) => destinationOf(accesses, request.url ?? ''),
  check,
});
