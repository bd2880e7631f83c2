const DEFAULT_RELOAD_MS = 5000;

const FILE = { type: 'string', minLength: 1 } as const;

/** Schema of the `tls` field of the listener for callers; if null or absent, it serves plain HTTP. */
export const keySchema = {
  type: 'object',
  nullable: true,
  default: null,
  additionalProperties: false,
  required: ['certificateFile', 'keyFile'],
  properties: {
    certificateFile: FILE,
    keyFile: FILE,
    caFile: { ...FILE, nullable: true, default: null },
    reloadMs: { type: 'integer', minimum: 10, default: DEFAULT_RELOAD_MS },
  },
} as const;
