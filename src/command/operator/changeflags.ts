import { Flags } from '@oclif/core';

const WAIT_MS = 30_000;

/** Flags of commands that change a document. */
export const changeFlags = {
  expect: Flags.integer({
    required: true,
    min: 0,
    description: 'revision that the change is based on; 0 for a new service',
  }),
  cause: Flags.string({ default: '', description: 'why, for the audit trail' }),
  team: Flags.string({ env: 'TARRAGONSTILE_TEAM', description: 'team on whose behalf you act' }),
  'change-id': Flags.string({ description: 'id of the change, to repeat an earlier call' }),
  wait: Flags.boolean({ description: 'wait until the change is in force everywhere' }),
  'wait-ms': Flags.integer({ default: WAIT_MS, min: 0, description: 'longest wait, in ms' }),
};
