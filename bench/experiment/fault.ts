/** A zone's upstreams die, or are back with empty memory. */
interface ZoneFault {
  readonly atMs: number;
  readonly type: 'zone-lost' | 'zone-back';
  readonly zone: string;
}

interface PlatformFault {
  readonly atMs: number;
  readonly type: 'planner-lost' | 'planner-back' | 'store-lost' | 'store-back';
}

/** Engines of one zone (or all, if `zone` is empty) take `factor` times as long. */
interface SlowFault {
  readonly atMs: number;
  readonly type: 'engines-slow';
  readonly zone: string;
  readonly factor: number;
}

/** Something that fails, or comes back, at a time of the run. */
export type Fault = ZoneFault | PlatformFault | SlowFault;
