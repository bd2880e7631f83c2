import { errors } from 'undici';
import { FailureError } from '../../base/index.js';

/** Returns true for errors of connections on which the peer has sent something else than an answer, or part of one. */
export function isMalformed(error: Error): boolean {
  if (error instanceof FailureError) return error.failure.type === 'answer-malformed';
  if (error instanceof errors.HeadersOverflowError) return true;
  return error instanceof errors.HTTPParserError;
}
