import { defaultTable } from './defaulttable.js';

const MIN_TABLE_BYTES = 65_536;

/** JSON schema of the `tickets` settings of a sidecar. */
export const tableSchema = {
  type: 'object',
  additionalProperties: false,
  properties: {
    tableBytes: { type: 'integer', minimum: MIN_TABLE_BYTES, default: defaultTable.tableBytes },
    answerBytes: { type: 'integer', minimum: 0, default: defaultTable.answerBytes },
    maxValidMs: { type: 'integer', minimum: 1000, default: defaultTable.maxValidMs },
  },
  default: {},
} as const;
