/**
 * What every typed failure has. Each part defines its own failures as interfaces that extend this one
 * with a literal `type`, and returns them in a `Result`.
 */
export interface Failure {
  /** Stable, in kebab-case; callers and operators look it up in docs/ERRORS.md. */
  readonly type: string;
  /** One sentence for a person. */
  readonly detail: string;
}
