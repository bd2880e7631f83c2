import { errors } from 'undici';

/** Returns true for errors of calls that cannot be written, such as one with a header that holds a control character. */
export function isInvalidCall(error: Error): boolean {
  return error instanceof errors.InvalidArgumentError || error instanceof errors.NotSupportedError;
}
