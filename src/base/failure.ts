/**
 * Fields of every typed failure. Each module declares its own failures as interfaces that extend this one
 * with a literal `type`, and returns them in a `Result`.
 */
export interface Failure {
  /** Stable name in kebab-case, listed in docs/ERRORS.md for callers and operators. */
  readonly type: string;
  /** One sentence for a human reader. */
  readonly detail: string;
}
