import type { Ms, ServiceId, UpstreamId } from '../../src/base/index.js';
import { OriginHistory, type StreamOrigin } from '../../src/core/origin/index.js';
import type { Upstream } from '../../src/core/upstreams/index.js';

/** A defect: infers the begin of a stream from what is listed now. */
export class PresentHistory extends OriginHistory {
  private readonly present = new Map<UpstreamId, string | undefined>();

  override upstream(upstream: Upstream, nowMs: Ms): boolean {
    this.present.set(upstream.id, upstream.softwareVersion);
    return super.upstream(upstream, nowMs);
  }

  override upstreamGone(id: UpstreamId, nowMs: Ms): void {
    this.present.delete(id);
    super.upstreamGone(id, nowMs);
  }

  protected override onlySoftware(service: ServiceId): StreamOrigin | undefined {
    const [softwareVersion, ...others] = new Set(this.present.values());
    if (others.length > 0) return undefined;
    return { service, softwareVersion, weightsVersion: undefined };
  }
}
