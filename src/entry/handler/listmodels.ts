import { refuse } from '../../core/refusal/index.js';
import type { Access } from '../access.js';
import type { Handler } from './handler.js';
import { refuseCaller } from './refusecaller.js';
import { sendJson } from './sendjson.js';

function modelObjectsOf({ document }: Access): object[] {
  const { service, models, adapters = [] } = document;
  const own = models.map(({ id }) => ({ id, object: 'model', created: 0, owned_by: service }));
  const adapted = adapters.map(({ id, model }) => ({
    id,
    object: 'model',
    created: 0,
    owned_by: service,
    parent: model,
  }));
  return [...own, ...adapted];
}

/** `GET /v1/models`: lists the models and adapters of the caller's services. */
export const listModels: Handler = (context, caller) => {
  const { authorization } = caller.request.headers;
  const accesses = context.keys.find(authorization, context.directory.documents());
  if (accesses.length === 0) {
    refuseCaller(context, caller, refuse('unauthenticated', 'No service knows this key.'));
  } else {
    sendJson(context, caller, 200, { object: 'list', data: accesses.flatMap(modelObjectsOf) });
  }
  return Promise.resolve();
};
