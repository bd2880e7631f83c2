/** What both ends of a gRPC call share. */
export { writeWhole } from './writewhole.js';
