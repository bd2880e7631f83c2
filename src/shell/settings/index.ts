/** Reading and checking of settings files. */
export { loadSettings } from './loadsettings.js';
export type { SettingsFailure } from './settingsfailure.js';
