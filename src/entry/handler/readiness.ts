import type { Handler } from './handler.js';
import { sendJson } from './sendjson.js';

const READY_STATUS = 200;
const UNREADY_STATUS = 503;

/** `GET /readyz`: reports to a load balancer whether it may send callers to this entry. */
export const readiness: Handler = (context, caller) => {
  const { gate, directory } = context;
  const caughtUp = directory.caughtUp();
  const leaving = !gate.ready();
  const ready = caughtUp && !leaving;
  const body = { ready, caughtUp, leaving, revision: directory.revision() };
  sendJson(context, caller, ready ? READY_STATUS : UNREADY_STATUS, body);
  return Promise.resolve();
};
