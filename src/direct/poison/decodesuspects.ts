import type { Suspect } from '../../core/poison/index.js';
import { readSuspect } from './readsuspect.js';

/** Decodes a record of the store. Returns undefined if any part of it is malformed. */
export function decodeSuspects(text: string): readonly Suspect[] | undefined {
  try {
    const { suspects } = JSON.parse(text) as { suspects?: unknown };
    if (!Array.isArray(suspects)) return undefined;
    const read = suspects.map(readSuspect);
    return read.every((suspect) => suspect !== undefined) ? read : undefined;
  } catch {
    // Not JSON, or not an object: the caller logs it.
    return undefined;
  }
}
