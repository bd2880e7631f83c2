import { readFileSync } from 'node:fs';
import type { Result } from 'ts-results';
import { result, toFailure, type Failure } from '../../base/index.js';

/** Reads a file given by the operator. */
export function readFile(file: string): Result<string, Failure> {
  try {
    return result.Ok(readFileSync(file, 'utf8'));
  } catch (thrown) {
    return result.Err(toFailure('file-unreadable', thrown));
  }
}
