import type { KindName } from '../../base/index.js';

/** A path of a plain service. */
export interface Route {
  readonly method: 'GET' | 'POST' | 'PUT' | 'PATCH' | 'DELETE';
  /** Matches a request's path when it starts with this. The longest match wins. */
  readonly pathPrefix: string;
  readonly kind: KindName;
}
