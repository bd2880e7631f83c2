import { refuse } from '../../core/refusal/index.js';
import type { Handler } from './handler.js';
import { refuseCaller } from './refusecaller.js';

/** Any other path or method. */
export const notFound: Handler = (desk, caller) => {
  const { method, url } = caller.request;
  refuseCaller(desk, caller, refuse('not-found', `Nothing answers ${method} ${url}.`));
  return Promise.resolve();
};
