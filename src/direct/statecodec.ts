import type { Result } from 'ts-results';
import type { Failure } from '../base/index.js';
import type { RouteTable } from '../core/routetable/index.js';
import type { Upstream } from '../core/upstreams/index.js';

/** The keys and encoding of a platform's configuration and list of upstreams in the store. */
export interface StateCodec {
  /** Common prefix of all keys that are followed. */
  readonly watchedPrefix: string;
  /** Prefix of the keys that this system writes. */
  readonly ownPrefix: string;
  isTable(key: string): boolean;
  /** Returns the id of the upstream whose record a key is, if it is one. */
  upstreamOf(key: string): string | undefined;
  decodeTable(text: string): Result<RouteTable, Failure>;
  decodeUpstream(id: string, text: string): Result<Upstream, Failure>;
}
