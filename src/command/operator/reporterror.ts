import { handle } from '@oclif/core';
import { FailureError } from '../../base/index.js';
import { describeFailure } from './describefailure.js';
import { exitCodeOf } from './exitcodes.js';

const SYSTEM_ERROR_CODE = 1;

/** Prints the error of a command and exits with its exit code. */
export async function reportError(error: unknown): Promise<void> {
  if (error instanceof FailureError) {
    process.stderr.write(`${describeFailure(error.failure)}\n`);
    process.exit(exitCodeOf(error.failure.type));
  }
  const { syscall, message } = error as NodeJS.ErrnoException;
  if (syscall) {
    process.stderr.write(`system-error: ${message}\n`);
    process.exit(SYSTEM_ERROR_CODE);
  }
  await handle(error as Error);
}
