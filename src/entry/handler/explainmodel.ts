import type { ModelId } from '../../base/index.js';
import { explain } from '../planner/index.js';
import type { Handler } from './handler.js';
import { sendJson } from './sendjson.js';

/** `GET /explainz?model=MODEL`: why a model is where it is, for operators. */
export const explainModel: Handler = (desk, caller) => {
  const { searchParams } = new URL(caller.request.url ?? '', 'http://entry');
  const model = (searchParams.get('model') ?? '') as ModelId;
  sendJson(caller, 200, explain(desk, desk.directory.documents(), model));
  return Promise.resolve();
};
