import { parse, type ParseError } from 'jsonc-parser';
import { isDeep } from '../shape/index.js';

/**
 * Parses JSON with comments; undefined if it is nested too deeply. The parser calls itself for each level, and comments can
 * hide levels from the check before it.
 */
export function parseDocument(text: string, errors: ParseError[] = []): unknown {
  if (isDeep(text)) return undefined;
  try {
    return parse(text, errors, { allowTrailingComma: true });
  } catch (thrown) {
    if (thrown instanceof RangeError) return undefined;
    throw thrown;
  }
}
