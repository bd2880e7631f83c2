import type { Brand } from './brand.js';

/** A service: what one team owns and describes in one document. */
export type ServiceId = Brand<string, 'ServiceId'>;
