/** Enables `roarr`, which reads this variable when it is loaded: this module must be imported before it. */
process.env['ROARR_LOG'] ??= 'true';
