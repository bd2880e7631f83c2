import type { IncomingHttpHeaders } from 'node:http';
import type { Result } from 'ts-results';
import { result } from '../../base/index.js';
import { refuse } from '../../core/refusal/index.js';
import type { Header, Refusal } from '../../wire/index.js';
import type { Access } from '../access.js';
import type { Desk } from '../desk.js';
import type { Caller } from './caller.js';
import { checked } from './checked.js';
import { deadlineOf } from './deadlineof.js';
import { findRoute } from './findroute.js';
import { HOP_HEADERS } from './hopheaders.js';
import { kindOf } from './kindof.js';
import type { serve } from './serve.js';

type Served = Parameters<typeof serve>[2];

/** `/services/{service}/{path}`; the query stays with the path. */
const PATH = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;

/** Where a plain request goes. */
interface Aim {
  readonly access: Access;
  readonly path: string;
  readonly query: string;
}

function passedHeaders(headers: IncomingHttpHeaders): Header[] {
  const named = new Set((headers.connection ?? '').toLowerCase().split(/\s*,\s*/));
  return Object.entries(headers)
    .filter(([name]) => !HOP_HEADERS.has(name) && !named.has(name))
    .flatMap(([name, value = '']) => [value].flat().map((one) => ({ name, value: one })));
}

function aimOf(accesses: readonly Access[], url: string): Result<Aim, Refusal> {
  const [, service = '', path = '/', query = ''] = PATH.exec(url) ?? [];
  const access = accesses.find(({ document }) => document.service === service);
  if (access) return result.Ok({ access, path, query });
  return result.Err(refuse('service-unknown', `You have no service "${service}".`));
}

function check(
  desk: Desk,
  { request }: Caller,
  { access, path, query }: Aim,
  body: Buffer,
): Result<Served, Refusal> {
  const method = request.method ?? 'GET';
  const route = findRoute(access.document, method, path);
  if (!route) return result.Err(refuse('route-unknown', `No route takes ${method} ${path}.`));
  // The route alone says what may be repeated, so the caller cannot name another kind.
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
    headers: passedHeaders(request.headers),
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
  const deadlineAtMs = desk.clock.nowMs() + deadlineMs.val;
  return result.Ok({ access, target: { service, kind: kind.val }, head, deadlineAtMs });
}

/** Any method of `/services/{service}/{path}`: goes to a plain service as it is. */
export const passThrough = checked<Aim>({
  aim: ({ request }, accesses) => aimOf(accesses, request.url ?? ''),
  check,
});
