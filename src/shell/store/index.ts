/** Drivers of the platform's key-value service. */
export { absentStore } from './absentstore.js';
