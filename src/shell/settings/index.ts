/** Reads and checks settings files. */
export { fieldSchemas } from './fieldschemas.js';
export { loadSettings } from './loadsettings.js';
export type { SettingsFailure } from './settingsfailure.js';
