import type { KindName } from '../../base/index.js';

/** A route of a plain service. */
export interface Route {
  readonly method: 'GET' | 'POST' | 'PUT' | 'PATCH' | 'DELETE';
  /** Matches paths that start with it. The longest match wins. */
  readonly pathPrefix: string;
  readonly kind: KindName;
}
