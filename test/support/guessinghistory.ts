import type { Ms, ServiceId } from '../../src/base/index.js';
import { OriginHistory, type StreamOrigin } from '../../src/core/origin/index.js';
import type { Upstream } from '../../src/core/upstreams/index.js';

/** A defect: takes the version that was listed last for the one that began any stream. */
export class GuessingHistory extends OriginHistory {
  private latest: string | undefined;

  override upstream(upstream: Upstream, nowMs: Ms): boolean {
    this.latest = upstream.softwareVersion;
    return super.upstream(upstream, nowMs);
  }

  protected override onlySoftware(service: ServiceId): StreamOrigin | undefined {
    return { service, softwareVersion: this.latest, weightsVersion: undefined };
  }
}
