#!/usr/bin/env node
import { flush, run } from '@oclif/core';
import { reportError } from '../dist/src/command/operator/reporterror.js';

try {
  await run(process.argv.slice(2), import.meta.url);
  await flush();
} catch (error) {
  await reportError(error);
}
