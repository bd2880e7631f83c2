import type { JSONSchemaType } from 'ajv';
import { storeSchema } from '../../shell/store/index.js';
import type { OperatorSettings } from './operatorsettings.js';

/** Schema of the settings file for operator commands. */
export const operatorSchema: JSONSchemaType<OperatorSettings> = {
  type: 'object',
  additionalProperties: false,
  required: [],
  properties: {
    store: storeSchema as never,
    entries: { type: 'array', items: { type: 'string', pattern: '^https?://' }, default: [] },
    team: { type: 'string', nullable: true, minLength: 1 },
  },
};
