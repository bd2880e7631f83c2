/** Thrown when a promise is broken. */
export class Violation extends Error {
  override readonly name = 'Violation';
}
