import type { Handler } from './handler.js';
import { sendJson } from './sendjson.js';

/** `GET /statusz`: the configuration that this entry has in force, for operators. */
export const status: Handler = ({ board }, caller) => {
  sendJson(caller, 200, board.status());
  return Promise.resolve();
};
