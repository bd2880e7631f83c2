import { parse } from 'jsonc-parser';

const INDENT = 2;

/** A text of JSON with comments as plain JSON, one value a line, so that only meaning is compared. */
export function normalise(text: string): string {
  const value: unknown = parse(text, [], { allowTrailingComma: true });
  return JSON.stringify(value, null, INDENT) ?? '';
}
