/** A small deployment: a service of engines and a plain service. */
export interface Deployment {
  readonly name: string;
  readonly region: string;
  readonly availabilityZones: readonly [string, string, string];
  readonly engineService: string;
  readonly engineCount: number;
  readonly plainService: string;
  readonly plainCount: number;
  /** Duration of a call of the plain service. */
  readonly serviceMs: number;
  /** True if the stand-ins inject random faults into calls. */
  readonly hasFaults: boolean;
  readonly models: readonly string[];
  readonly lookupPath: string;
  readonly confirmPath: string;
  /** Body field of a confirmation that holds its business key. */
  readonly confirmField: string;
  readonly movePenalty: number;
  readonly parallelLoads: number;
  /** Type of the upstream whose sidecar is killed during the load. */
  readonly sidecarToKill: 'engine' | 'plain';
}
