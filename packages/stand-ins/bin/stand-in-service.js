#!/usr/bin/env node
import '../dist/main-service.js';
