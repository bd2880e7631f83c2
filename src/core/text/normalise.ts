import { parse } from 'jsonc-parser';

const INDENT = 2;

/** Converts JSON with comments to indented plain JSON, so that comments and layout do not affect a diff. */
export function normalise(text: string): string {
  const value: unknown = parse(text, [], { allowTrailingComma: true });
  return JSON.stringify(value, null, INDENT) ?? '';
}
