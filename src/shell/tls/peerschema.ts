import { keySchema } from './keyschema.js';

const { certificateFile, keyFile, reloadMs } = keySchema.properties;

/** Schema of the `peerTls` field; if null or absent, peers are not authenticated. */
export const peerSchema = {
  type: 'object',
  nullable: true,
  default: null,
  additionalProperties: false,
  required: ['certificateFile', 'keyFile', 'caFile', 'allowedNames'],
  properties: {
    certificateFile,
    keyFile,
    reloadMs,
    caFile: { type: 'string', minLength: 1 },
    allowedNames: { type: 'array', minItems: 1, items: { type: 'string', minLength: 1 } },
  },
} as const;
