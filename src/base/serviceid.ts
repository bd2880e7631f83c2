import type { Brand } from './brand.js';

/** Identifies a service, which one team owns and describes in one document. */
export type ServiceId = Brand<string, 'ServiceId'>;
