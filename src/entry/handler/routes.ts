import { explainModel } from './explainmodel.js';
import { generate } from './generate.js';
import type { Handler } from './handler.js';
import { health } from './health.js';
import { issueTicket } from './issueticket.js';
import { listModels } from './listmodels.js';
import { notFound } from './notfound.js';
import { onceCaughtUp } from './oncecaughtup.js';
import { passThrough } from './passthrough.js';
import { readiness } from './readiness.js';
import { status } from './status.js';

/** One path of an entry. */
interface PathRoute {
  /** Empty for any method. */
  readonly method: '' | 'GET' | 'POST';
  readonly path: string;
  readonly handler: Handler;
}

/** Every path that an entry answers; the first match wins. */
export const routes: readonly PathRoute[] = [
  { method: 'POST', path: '/v1/chat/completions', handler: onceCaughtUp(generate) },
  { method: 'POST', path: '/v1/completions', handler: onceCaughtUp(generate) },
  { method: 'GET', path: '/v1/models', handler: onceCaughtUp(listModels) },
  { method: 'POST', path: '/v1/tickets', handler: onceCaughtUp(issueTicket) },
  { method: '', path: '/services/**', handler: onceCaughtUp(passThrough) },
  { method: 'GET', path: '/healthz', handler: health },
  { method: 'GET', path: '/readyz', handler: readiness },
  { method: 'GET', path: '/statusz', handler: status },
  { method: 'GET', path: '/explainz', handler: explainModel },
  { method: '', path: '/**', handler: notFound },
];
