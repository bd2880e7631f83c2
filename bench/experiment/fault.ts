/** All upstreams of a zone are lost, or return with empty memory. */
interface ZoneFault {
  readonly atMs: number;
  readonly type: 'zone-lost' | 'zone-back';
  readonly zone: string;
}

interface PlatformFault {
  readonly atMs: number;
  readonly type: 'planner-lost' | 'planner-back' | 'store-lost' | 'store-back';
}

/** Steps of the engines in one zone (in all zones if `zone` is empty) take `factor` times as long. */
interface SlowFault {
  readonly atMs: number;
  readonly type: 'engines-slow';
  readonly zone: string;
  readonly factor: number;
}

/** A fault, or its end, at a given time. */
export type Fault = ZoneFault | PlatformFault | SlowFault;
