import type { Result } from 'ts-results';
import type { Failure } from '../base/index.js';
import type { RouteTable } from '../core/routetable/index.js';
import type { Upstream } from '../core/upstreams/index.js';

/** Where a platform keeps the configuration and the list of upstreams, and how it writes them. */
export interface StateCodec {
  /** Covers everything that is followed. */
  readonly watchedPrefix: string;
  /** Keys that this system writes begin so. */
  readonly ownPrefix: string;
  isTable(key: string): boolean;
  /** The id of the upstream that a key is about, if it is about one. */
  upstreamOf(key: string): string | undefined;
  decodeTable(text: string): Result<RouteTable, Failure>;
  decodeUpstream(id: string, text: string): Result<Upstream, Failure>;
}
