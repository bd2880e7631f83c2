import type { Handler } from './handler.js';
import { sendJson } from './sendjson.js';

/** `GET /healthz`: answers as long as the process is alive. */
export const health: Handler = (context, caller) => {
  sendJson(context, caller, 200, { alive: true });
  return Promise.resolve();
};
