/** A deployment in miniature: one service of two engines, and one plain service. */
export interface Deployment {
  readonly name: string;
  readonly region: string;
  readonly availabilityZones: readonly [string, string, string];
  readonly engineService: string;
  readonly plainService: string;
  readonly models: readonly string[];
  readonly lookupPath: string;
  readonly confirmPath: string;
  /** Field of a confirmation's body that names what it confirms. */
  readonly confirmField: string;
  readonly movePenalty: number;
  readonly parallelLoads: number;
  /** Whose sidecar is killed on the way. */
  readonly killed: 'engine' | 'plain';
}
