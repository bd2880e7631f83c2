import { refuse } from '../../core/refusal/index.js';
import type { Handler } from './handler.js';
import { refuseCaller } from './refusecaller.js';

/** Refuses any other path or method. */
export const notFound: Handler = (context, caller) => {
  const { method, url } = caller.request;
  refuseCaller(context, caller, refuse('not-found', `Nothing answers ${method} ${url}.`));
  return Promise.resolve();
};
