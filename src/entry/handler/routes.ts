import { explainModel } from './explainmodel.js';
import { generate } from './generate.js';
import type { Handler } from './handler.js';
import { health } from './health.js';
import { issueTicket } from './issueticket.js';
import { listModels } from './listmodels.js';
import { notFound } from './notfound.js';
import { requireCaughtUp } from './requirecaughtup.js';
import { passThrough } from './passthrough.js';
import { readiness } from './readiness.js';
import { status } from './status.js';

/** One route of an entry. */
interface PathRoute {
  /** HTTP method; empty for any. */
  readonly method: '' | 'GET' | 'POST';
  readonly path: string;
  readonly handler: Handler;
}

/** All routes of an entry; the first match wins. */
export const routes: readonly PathRoute[] = [
  { method: 'POST', path: '/v1/chat/completions', handler: requireCaughtUp(generate) },
  { method: 'POST', path: '/v1/completions', handler: requireCaughtUp(generate) },
  { method: 'GET', path: '/v1/models', handler: requireCaughtUp(listModels) },
  { method: 'POST', path: '/v1/tickets', handler: requireCaughtUp(issueTicket) },
  { method: '', path: '/services/**', handler: requireCaughtUp(passThrough) },
  { method: 'GET', path: '/healthz', handler: health },
  { method: 'GET', path: '/readyz', handler: readiness },
  { method: 'GET', path: '/statusz', handler: status },
  { method: 'GET', path: '/explainz', handler: explainModel },
  { method: '', path: '/**', handler: notFound },
];
