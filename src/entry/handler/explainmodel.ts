import type { ModelId } from '../../base/index.js';
import { explain } from '../planner/index.js';
import type { Handler } from './handler.js';
import { sendJson } from './sendjson.js';

/** `GET /explainz?model=MODEL`: explains to operators why a model is at its upstreams. */
export const explainModel: Handler = (context, caller) => {
  const { searchParams } = new URL(caller.request.url ?? '', 'http://entry');
  const model = (searchParams.get('model') ?? '') as ModelId;
  sendJson(context, caller, 200, explain(context, context.directory.documents(), model));
  return Promise.resolve();
};
