import { Flags } from '@oclif/core';

/** Flag of commands that take a service: region of the document. */
export const regionFlag = {
  region: Flags.string({ description: 'region of the document, if the service is in several' }),
};
