/** A promise that was broken. */
export class Violation extends Error {
  override readonly name = 'Violation';
}
