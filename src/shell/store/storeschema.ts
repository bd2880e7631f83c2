/** Schema of the `store` field in settings files. */
export const storeSchema = {
  type: 'object',
  nullable: true,
  additionalProperties: false,
  required: ['urls'],
  properties: {
    urls: {
      type: 'array',
      minItems: 1,
      items: { type: 'string', format: 'url', description: 'an http or https URL' },
    },
    readsPerSecond: { type: 'integer', minimum: 1, default: 20 },
    writesPerSecond: { type: 'integer', minimum: 1, default: 10 },
    timeoutMs: { type: 'integer', minimum: 1, default: 2000 },
  },
} as const;
