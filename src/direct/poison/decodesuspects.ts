import { parseJson, shape } from '../../core/shape/index.js';
import type { Suspect } from '../../core/poison/index.js';
import { maxSuspectsLength } from './maxsuspectslength.js';
import { readSuspect } from './readsuspect.js';

/** Decodes a record of the store. Returns undefined if any part of it is malformed. */
export function decodeSuspects(text: string): readonly Suspect[] | undefined {
  const record = parseJson(text, maxSuspectsLength);
  if (!shape.isObject(record) || !Array.isArray(record.suspects)) return undefined;
  const read = record.suspects.map(readSuspect);
  return read.every((suspect) => suspect !== undefined) ? read : undefined;
}
