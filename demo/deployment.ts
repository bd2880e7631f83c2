/** A deployment in miniature: a service of engines, and a plain service. */
export interface Deployment {
  readonly name: string;
  readonly region: string;
  readonly availabilityZones: readonly [string, string, string];
  readonly engineService: string;
  readonly engineCount: number;
  readonly plainService: string;
  readonly plainCount: number;
  /** How long a call of the plain service takes. */
  readonly serviceMs: number;
  /** Whether calls of engines and plain services go wrong by themselves. */
  readonly hasFaults: boolean;
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
